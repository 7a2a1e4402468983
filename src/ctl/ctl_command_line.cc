#include "ctl/ctl_command_line.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <iterator>
#include <optional>
#include <sstream>

#include "base/nearest_name.h"
#include "ctl/drain_command.h"
#include "ctl/operations_command.h"
#include "ctl/settings_check_command.h"
#include "ctl/settings_delete_command.h"
#include "ctl/settings_get_command.h"
#include "ctl/settings_history_command.h"
#include "ctl/settings_list_command.h"
#include "ctl/settings_set_command.h"
#include "ctl/status_command.h"

namespace hornbeam {

namespace {

namespace options = boost::program_options;

template <class Command>
std::unique_ptr<ctl_command> Make(ctl_context& context) {
  return std::make_unique<Command>(context);
}

std::vector<ctl_command_info> MakeCommands() {
  return {
      {"settings set",
       "PATH FILE",
       "write a document; with - as FILE it is read from standard input",
       2,
       2,
       {"revision", "change-id", "wait-ms"},
       Make<settings_set_command>},
      {"settings get",
       "PATH",
       "print a document",
       1,
       1,
       {},
       Make<settings_get_command>},
      {"settings list",
       "[PREFIX]",
       "list documents",
       0,
       1,
       {},
       Make<settings_list_command>},
      {"settings history",
       "PATH",
       "list changes of a path or team",
       1,
       1,
       {"limit"},
       Make<settings_history_command>},
      {"settings delete",
       "PATH",
       "delete a document",
       1,
       1,
       {"revision", "change-id", "wait-ms"},
       Make<settings_delete_command>},
      {"settings check",
       "PATH FILE",
       "validate a document locally without sending it",
       2,
       2,
       {},
       Make<settings_check_command>},
      {"status", "", "show stores and nodes", 0, 0, {}, Make<status_command>},
      {"drain",
       "NODE",
       "stop sending new calls to a node; --undo reverts this",
       1,
       1,
       {"undo", "wait-ms"},
       Make<drain_command>},
      {"operations",
       "",
       "list or acknowledge operations whose outcome is unknown",
       0,
       0,
       {"unresolved", "min-age-ms", "acknowledge", "note"},
       Make<operations_command>},
  };
}

options::options_description CommonOptions() {
  options::options_description description("Options of every command");
  const auto text = [] { return options::value<std::string>(); };
  description.add_options()("config", text()->value_name("FILE"),
                            "connection settings (default ~/.hornbeamctl.ini)")(
      "control", text()->value_name("ADDRESSES"),
      "addresses of the control VMs, such as "
      "127.0.0.1:7001,127.0.0.1:7002")("team", text()->value_name("TEAM"),
                                       "team to act for")(
      "token", text()->value_name("TOKEN"),
      "the team's token; other users of the VM can see flags, so prefer "
      "HORNBEAMCTL_TOKEN")("timeout-ms", text()->value_name("MS"),
                           "maximum wait for a reply (default 5000)")(
      "output", text()->value_name("text|json")->default_value("text"),
      "output format")("version", "print the version and exit")(
      "help", "print this text and exit");
  return description;
}

options::options_description CommandOptions() {
  options::options_description description("Options of some commands");
  const auto number = [] { return options::value<std::uint64_t>(); };
  const auto small = [] { return options::value<std::uint32_t>(); };
  const auto text = [] { return options::value<std::string>(); };
  description.add_options()(
      "revision", number()->value_name("N"),
      "expected revision of the team's subtree; the change is rejected if it "
      "has another one (default: the current one)")(
      "change-id", text()->value_name("ID"),
      "id of a change that is repeated after a lost reply")(
      "wait-ms", small()->value_name("MS"),
      "maximum wait until the change is in force on every node; 0: do not wait "
      "(default 15000)")("limit", small()->value_name("N"),
                         "maximum number of changes shown (default 20)")(
      "undo", "stop draining the node")(
      "unresolved", "list operations that need an operator's decision")(
      "min-age-ms", small()->value_name("MS"),
      "leave out younger operations (default 60000)")(
      "acknowledge", text()->value_name("SERVICE/KEY"),
      "remove a resolved operation from the list")(
      "note", text()->value_name("TEXT"), "how the operation was resolved");
  return description;
}

const std::vector<ctl_command_info>& Commands() {
  static const std::vector<ctl_command_info> kCommands = MakeCommands();
  return kCommands;
}

std::optional<std::string> TextOf(const options::variables_map& given,
                                  const std::string& name) {
  if (!given.contains(name)) return std::nullopt;
  return given[name].as<std::string>();
}

// Turns parsed options into an invocation, in one step per part. A step returns
// the reason for a failure, or an empty string.
class invocation_reader {
 public:
  explicit invocation_reader(const options::variables_map& given)
      : given_(given) {
    if (given.contains("words")) {
      words_ = given["words"].as<std::vector<std::string>>();
    }
  }

  result<ctl_invocation, usage_error> Read() {
    if (given_.contains("help")) return WithAction(ctl_action::kHelp);
    if (given_.contains("version")) return WithAction(ctl_action::kVersion);
    for (const auto step :
         {&invocation_reader::FindCommand, &invocation_reader::CheckOptions,
          &invocation_reader::ReadOutput, &invocation_reader::ReadArguments}) {
      const std::string reason = (this->*step)();
      if (!reason.empty()) return usage_error{reason};
    }
    ReadConnection();
    return std::move(invocation_);
  }

 private:
  static ctl_invocation WithAction(ctl_action action) {
    ctl_invocation invocation;
    invocation.action = action;
    return invocation;
  }

  std::string FindCommand() {
    if (words_.empty()) return "no command given";
    const std::string two =
        words_.size() > 1 ? words_[0] + ' ' + words_[1] : words_[0];
    for (const ctl_command_info& info : Commands()) {
      if (info.name != two && info.name != words_[0]) continue;
      invocation_.command = &info;
      const std::size_t used = info.name == words_[0] ? 1 : 2;
      invocation_.arguments.operands.assign(
          words_.begin() + static_cast<std::ptrdiff_t>(used), words_.end());
      return CheckOperandCount();
    }
    return UnknownCommand(two);
  }

  static std::string UnknownCommand(const std::string& name) {
    std::vector<std::string_view> names;
    std::ranges::transform(Commands(), std::back_inserter(names),
                           &ctl_command_info::name);
    const std::string_view nearest = NearestName(name, names);
    return nearest.empty() ? fmt::format("unknown command '{}'", name)
                           : fmt::format(
                                 "unknown command '{}': did you mean "
                                 "'{}'?",
                                 name, nearest);
  }

  std::string CheckOperandCount() const {
    const ctl_command_info& info = *invocation_.command;
    const std::size_t count = invocation_.arguments.operands.size();
    if (count >= info.min_operands && count <= info.max_operands) return {};
    return fmt::format("usage: hornbeamctl {} {}", info.name, info.operands);
  }

  std::string CheckOptions() {
    const ctl_command_info& info = *invocation_.command;
    const options::options_description specific = CommandOptions();
    for (const auto& option : specific.options()) {
      const std::string& name = option->long_name();
      if (given_.contains(name) &&
          std::ranges::count(info.options, std::string_view(name)) == 0) {
        return fmt::format("'{}' does not accept option --{}", info.name, name);
      }
    }
    return {};
  }

  std::string ReadOutput() {
    const auto& name = given_["output"].as<std::string>();
    if (name != "text" && name != "json") {
      return fmt::format("--output: '{}' is not one of text, json", name);
    }
    if (name == "json") invocation_.output = output_format::kJson;
    return {};
  }

  std::string ReadArguments() {
    ctl_arguments& arguments = invocation_.arguments;
    if (given_.contains("revision")) {
      arguments.revision = given_["revision"].as<std::uint64_t>();
    }
    if (const auto id = TextOf(given_, "change-id")) {
      arguments.change_id = request_id::Parse(*id);
      if (!arguments.change_id) return "--change-id: must be 32 hex digits";
    }
    arguments.wait = Milliseconds("wait-ms");
    arguments.min_age = Milliseconds("min-age-ms");
    if (given_.contains("limit")) {
      arguments.limit = given_["limit"].as<std::uint32_t>();
    }
    arguments.acknowledge = TextOf(given_, "acknowledge").value_or("");
    arguments.note = TextOf(given_, "note").value_or("");
    arguments.unresolved = given_.contains("unresolved");
    arguments.undo = given_.contains("undo");
    return {};
  }

  std::optional<std::chrono::milliseconds> Milliseconds(
      const std::string& name) const {
    if (!given_.contains(name)) return std::nullopt;
    return std::chrono::milliseconds(given_[name].as<std::uint32_t>());
  }

  void ReadConnection() {
    invocation_.config_file = TextOf(given_, "config").value_or("");
    invocation_.flags = {.control = TextOf(given_, "control"),
                         .team = TextOf(given_, "team"),
                         .token = TextOf(given_, "token"),
                         .timeout_ms = TextOf(given_, "timeout-ms")};
  }

  const options::variables_map& given_;
  std::vector<std::string> words_;
  ctl_invocation invocation_;
};

}  // namespace

std::span<const ctl_command_info> CtlCommands() { return Commands(); }

result<ctl_invocation, usage_error> ParseCtlCommandLine(
    std::span<const char* const> arguments) {
  try {
    options::options_description all = CommonOptions();
    all.add(CommandOptions());
    all.add_options()("words", options::value<std::vector<std::string>>());
    options::positional_options_description words;
    words.add("words", -1);
    options::variables_map given;
    options::store(options::command_line_parser(
                       static_cast<int>(arguments.size()), arguments.data())
                       .options(all)
                       .positional(words)
                       .run(),
                   given);
    return invocation_reader(given).Read();
  } catch (const options::error& error) {
    return usage_error{error.what()};
  }
}

std::string CtlHelp() {
  std::ostringstream out;
  out << "hornbeamctl COMMAND [OPTIONS]\n\nCommands:\n";
  for (const ctl_command_info& info : Commands()) {
    out << fmt::format("  {:<28} {}\n",
                       fmt::format("{} {}", info.name, info.operands),
                       info.meaning);
  }
  out << '\n' << CommonOptions() << '\n' << CommandOptions();
  out << "\nConnection settings: flags override HORNBEAMCTL_CONTROL, _TEAM, "
         "_TOKEN and\n_TIMEOUT_MS, and these override section [connection] of "
         "the file.\n"
         "Exit codes: 0 ok, 1 invalid input, 2 usage error, 3 no control VM "
         "or no quorum,\n4 not permitted, 5 conflict with another change, "
         "6 accepted but not yet in force\non every node, 7 no reply in "
         "time.\n";
  return out.str();
}

}  // namespace hornbeam
