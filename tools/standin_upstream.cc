// Stand-in upstream as a program: prints its address on one line, then serves
// calls until SIGTERM or SIGINT.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <string>

#include "support/standin_behaviour.h"
#include "support/standin_server.h"

namespace hornbeam {

namespace {

namespace po = boost::program_options;

constexpr int kUsageError = 2;

struct command_line {
  standin_options options;
  std::string behaviour;
};

po::options_description DescribeOptions(command_line& line) {
  standin_options& options = line.options;
  po::options_description described("standin_upstream");
  auto add = described.add_options();
  add("help", "shows this text");
  add("name", po::value(&options.name)->default_value("standin"),
      "name that the answers contain");
  add("service", po::value(&options.service)->default_value("guichet"),
      "service that the upstream announces");
  add("listen", po::value(&options.listen)->default_value("127.0.0.1:0"),
      "address and port on which it accepts calls");
  add("node", po::value(&options.node_local),
      "local listener of the node on the same VM");
  add("record", po::value(&options.record_path)->required(),
      "file that records the runs of calls");
  add("slots", po::value(&options.slots)->default_value(options.slots),
      "number of calls that run at the same time");
  add("seed", po::value(&options.seed)->default_value(options.seed),
      "seed of the service times");
  add("sync-record",
      po::value(&options.sync_record)->default_value(options.sync_record),
      "whether non-idempotent runs are synced to the disk");
  add("behaviour", po::value(&line.behaviour)->default_value("{}"),
      "JSON object: short_ms, long_ms, slow_factor, fail_share, "
      "cold_start_ms, cold_start_factor, shed_above, answer_bytes, "
      "answer_status, "
      "long_answer_bytes, honour_cancel, draining, load (true, lagging, zero)");
  return described;
}

// Returns false when the program is to exit with `code`.
bool ReadCommandLine(int argc, char** argv, command_line& line, int& code) {
  const po::options_description described = DescribeOptions(line);
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, described), values);
    if (values.contains("help")) {
      std::cout << described;
      code = 0;
      return false;
    }
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "standin_upstream: " << error.what() << "\n";
    code = kUsageError;
    return false;
  }
  const auto behaviour = MergeBehaviour(line.options.behaviour, line.behaviour);
  if (!behaviour) {
    std::cerr << "standin_upstream: --behaviour is malformed\n";
    code = kUsageError;
    return false;
  }
  line.options.behaviour = *behaviour;
  return true;
}

int Run(const standin_options& options) {
  boost::asio::io_context io(1);
  std::string reason;
  const auto server = standin_server::MakeStandinServer(io, options, reason);
  if (server == nullptr) {
    std::cerr << "standin_upstream: " << reason << "\n";
    return 1;
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) server->Stop();
  });
  server->Start();
  std::cout << "standin " << options.name << " listening on "
            << server->Address() << std::endl;
  io.run();
  return 0;
}

}  // namespace

}  // namespace hornbeam

int main(int argc, char** argv) {
  hornbeam::command_line line;
  int code = 0;
  if (!hornbeam::ReadCommandLine(argc, argv, line, code)) return code;
  return hornbeam::Run(line.options);
}
