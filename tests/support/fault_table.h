#ifndef TESTS_SUPPORT_FAULT_TABLE_H_
#define TESTS_SUPPORT_FAULT_TABLE_H_

#include <algorithm>
#include <iomanip>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace peridotarch {

/// The results of every fault at every step, printed as a table.
class fault_table {
 public:
  /// Adds a result; several for one cell make it fail if one does.
  void Add(const std::string& step, const std::string& fault, bool passed,
           const std::string& what_failed) {
    Place(step, fault);
    cell& c = cells_[{step, fault}];
    c.text = !passed || c.text == "FAIL" ? "FAIL" : "pass";
    if (!passed) {
      notes_.insert("FAIL " + step + " x " + fault + ": " + what_failed);
    }
  }

  /// Marks a cell that has no meaning.
  void AddNotApplicable(const std::string& step, const std::string& fault,
                        const std::string& reason) {
    Place(step, fault);
    cells_[{step, fault}].text = "n/a";
    notes_.insert("n/a  " + step + " x " + fault + ": " + reason);
  }

  [[nodiscard]] bool AllPassed() const {
    return std::ranges::none_of(
        cells_, [](const auto& c) { return c.second.text == "FAIL"; });
  }

  void Print(const std::string& title, std::ostream& out) const {
    constexpr int kWidth = 16;
    out << title << '\n' << std::setw(kWidth) << std::left << "";
    for (const std::string& fault : faults_) {
      out << std::setw(kWidth) << fault;
    }
    out << '\n';
    for (const std::string& step : steps_) {
      out << std::setw(kWidth) << step;
      for (const std::string& fault : faults_) {
        const auto at = cells_.find({step, fault});
        out << std::setw(kWidth) << (at == cells_.end() ? "" : at->second.text);
      }
      out << '\n';
    }
    for (const std::string& note : notes_) {
      out << note << '\n';
    }
  }

 private:
  struct cell {
    std::string text;
  };

  void Place(const std::string& step, const std::string& fault) {
    if (std::ranges::find(steps_, step) == steps_.end()) {
      steps_.push_back(step);
    }
    if (std::ranges::find(faults_, fault) == faults_.end()) {
      faults_.push_back(fault);
    }
  }

  std::vector<std::string> steps_;
  std::vector<std::string> faults_;
  std::map<std::pair<std::string, std::string>, cell> cells_;
  std::set<std::string> notes_;
};

}  // namespace peridotarch

#endif  // TESTS_SUPPORT_FAULT_TABLE_H_
