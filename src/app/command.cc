// Dispatches to commands, parses their arguments and prints their help.
#include "src/app/command.h"

#include <algorithm>
#include <sstream>
#include <string_view>

namespace marjoramhall::app {
namespace {

constexpr size_t kLineWidth = 80;
// TCLAP prepends this to the descriptions of required arguments.
constexpr std::string_view kRequiredPrefix = "(required)  ";

bool IsHelpOption(const std::string& argument) {
  return argument == "--help" || argument == "-h";
}

// Returns a label such as "-s, --settings FILE" or "    --undo".
std::string OptionLabel(const TCLAP::Arg& arg) {
  const std::string& flag = arg.getFlag();
  std::string label = flag.empty() ? "    " : "-" + flag + ", ";
  label += "--" + arg.getName();
  const std::string id = arg.longID();
  const size_t start = id.rfind('<');
  if (arg.isValueRequired() && start != std::string::npos) {
    label += " " + id.substr(start + 1, id.rfind('>') - start - 1);
  }
  return label;
}

std::string GeneralHelp(std::span<const Command> commands) {
  std::vector<std::pair<std::string, std::string>> rows;
  rows.reserve(commands.size());
  for (const Command& it : commands) {
    rows.emplace_back(it.name, it.summary);
  }
  return "marjoramhall distributes flows and requests over the targets of a "
         "deployment.\n\n"
         "usage: marjoramhall COMMAND [OPTIONS]\n\ncommands:\n" +
         FormatColumns(rows) + "\nexit codes:\n" +
         FormatColumns({{"0", "done"},
                        {"1", "failure, or the outcome is unknown"},
                        {"2", "invalid arguments, settings or input"},
                        {"3", "refused by the VM; nothing was changed"},
                        {"4", "the VM could not be reached"}}) +
         "\n\"marjoramhall COMMAND --help\" describes a command.\n";
}

}  // namespace

std::string FormatColumns(
    const std::vector<std::pair<std::string, std::string>>& rows) {
  size_t width = 0;
  for (const auto& [left, right] : rows) {
    width = std::max(width, left.size());
  }
  const size_t indent = width + 4;
  std::string text;
  for (const auto& [left, right] : rows) {
    std::string line = "  " + left + std::string(width - left.size() + 2, ' ');
    std::istringstream words(right);
    for (std::string word; words >> word;) {
      if (line.size() > indent && line.size() + word.size() + 1 > kLineWidth) {
        text += line + "\n";
        line = std::string(indent, ' ');
      }
      line += (line.size() > indent ? " " : "") + word;
    }
    text += line + "\n";
  }
  return text;
}

int RunCommand(std::span<const Command> commands,
               Arguments arguments,
               const Streams& streams) {
  if (arguments.empty()) {
    streams.err << GeneralHelp(commands);
    return kExitUsage;
  }
  if (IsHelpOption(arguments[0]) || arguments[0] == "help") {
    streams.out << GeneralHelp(commands);
    return kExitOk;
  }
  for (const Command& it : commands) {
    if (it.name == arguments[0]) {
      return it.run(arguments.subspan(1), streams);
    }
  }
  streams.err << "marjoramhall: unknown command \"" << arguments[0]
              << "\"; see marjoramhall --help\n";
  return kExitUsage;
}

CommandLine::CommandLine(std::string synopsis, std::string description)
    : synopsis_(std::move(synopsis)),
      description_(std::move(description)),
      tclap_("", ' ', MARJORAMHALL_VERSION, false) {
  tclap_.setExceptionHandling(false);
}

std::optional<int> CommandLine::Parse(Arguments arguments,
                                      const Streams& streams) {
  if (std::any_of(arguments.begin(), arguments.end(), IsHelpOption)) {
    streams.out << HelpText();
    return kExitOk;
  }
  if (const std::string unknown = FindUnknownOption(arguments);
      !unknown.empty()) {
    streams.err << "marjoramhall: unknown option " << unknown
                << "\nusage: marjoramhall " << synopsis_ << "\n";
    return kExitUsage;
  }
  std::vector<std::string> all = {"marjoramhall"};
  all.insert(all.end(), arguments.begin(), arguments.end());
  try {
    tclap_.parse(all);
  } catch (const TCLAP::ArgException& e) {
    streams.err << "marjoramhall: " << e.error();
    if (e.argId() != "undefined" && e.argId() != " ") {
      streams.err << " (" << e.argId() << ")";
    }
    streams.err << "\nusage: marjoramhall " << synopsis_ << "\n";
    return kExitUsage;
  }
  return std::nullopt;
}

std::string CommandLine::FindUnknownOption(Arguments arguments) {
  const auto& list = tclap_.getArgList();
  for (size_t i = 0; i < arguments.size(); ++i) {
    const std::string& text = arguments[i];
    if (text.size() < 2 || text[0] != '-') {
      continue;
    }
    const auto arg =
        std::find_if(list.begin(), list.end(), [&](const TCLAP::Arg* it) {
          return text == "--" + it->getName() ||
                 (!it->getFlag().empty() && text == "-" + it->getFlag());
        });
    if (arg == list.end()) {
      return text;
    }
    i += (*arg)->isValueRequired() ? 1 : 0;
  }
  return "";
}

std::string CommandLine::HelpText() {
  std::vector<std::pair<std::string, std::string>> operands;
  std::vector<std::pair<std::string, std::string>> options;
  // TCLAP lists arguments in reverse order of declaration, and adds its own
  // argument that ends the options.
  const auto& list = tclap_.getArgList();
  for (auto it = list.rbegin(); it != list.rend(); ++it) {
    const TCLAP::Arg& arg = **it;
    if (arg.getName() == TCLAP::Arg::ignoreNameString()) {
      continue;
    }
    std::string description = arg.getDescription();
    if (description.starts_with(kRequiredPrefix)) {
      description.erase(0, kRequiredPrefix.size());
    }
    if (!arg.longID().starts_with("-")) {
      operands.emplace_back(arg.getName(), std::move(description));
    } else {
      options.emplace_back(OptionLabel(arg), std::move(description));
    }
  }
  options.emplace_back("-h, --help", "print this help");
  std::string text =
      "usage: marjoramhall " + synopsis_ + "\n\n" + description_ + "\n";
  if (!operands.empty()) {
    text += "\narguments:\n" + FormatColumns(operands);
  }
  return text + "\noptions:\n" + FormatColumns(options);
}

}  // namespace marjoramhall::app
