#ifndef CLI_CONFIG_FILE_H_
#define CLI_CONFIG_FILE_H_

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace peridotarch {

/// A rules file as an operator edits it.
struct config_file {
  std::string text;              ///< Without the line that names the base.
  std::optional<uint64_t> base;  ///< From a first line `# base N`.
};

/// Returns the first line that names revision `number` as the base.
std::string BaseLine(uint64_t number);

/// Takes the base line off, if the text has one.
config_file SplitBaseLine(std::string text);

/// Reads a rules file; throws settings_error if it cannot be read.
config_file ReadConfigFile(const std::string& path);

/// Prints every problem in the file's text; returns whether there is none.
bool ReportProblems(const std::string& path, const config_file& file, bool json,
                    std::ostream& out);

}  // namespace peridotarch

#endif  // CLI_CONFIG_FILE_H_
