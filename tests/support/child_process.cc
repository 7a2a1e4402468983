#include "support/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

#include "support/wait_until.h"

namespace hornbeam {

namespace {

constexpr int kFileMode = 0644;
constexpr int kExecFailedExitCode = 127;
constexpr std::chrono::seconds kStopLimit{10};
constexpr std::chrono::seconds kKillLimit{10};

// Runs in the child between fork and exec, where only async-signal-safe calls
// are allowed.
[[noreturn]] void ExecChild(const child_spec& spec, char* const* arguments,
                            char* const* environment, pid_t parent) {
  if (!spec.outlives_parent) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(kExecFailedExitCode);
  }
  const int flags = O_WRONLY | O_CREAT | O_APPEND;
  const int output = ::open(spec.output_path.c_str(), flags, kFileMode);
  const int error = ::open(spec.error_path.c_str(), flags, kFileMode);
  const int input = ::open("/dev/null", O_RDONLY);
  if (output < 0 || error < 0 || input < 0) ::_exit(kExecFailedExitCode);
  ::dup2(input, STDIN_FILENO);
  ::dup2(output, STDOUT_FILENO);
  ::dup2(error, STDERR_FILENO);
  ::execve(spec.program.c_str(), arguments, environment);
  ::_exit(kExecFailedExitCode);
}

std::string ReadWholeFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

std::unique_ptr<child_process> child_process::MakeChildProcess(
    child_spec spec) {
  std::vector<char*> arguments;
  arguments.push_back(spec.program.data());
  for (std::string& argument : spec.arguments) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  std::vector<char*> environment;
  std::ranges::transform(spec.environment, std::back_inserter(environment),
                         [](std::string& variable) { return variable.data(); });
  for (char** inherited = ::environ; *inherited != nullptr; ++inherited)
    environment.push_back(*inherited);
  environment.push_back(nullptr);
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid < 0) return nullptr;
  if (pid == 0) ExecChild(spec, arguments.data(), environment.data(), parent);
  return std::unique_ptr<child_process>(
      new child_process(std::move(spec), pid));
}

child_process::child_process(child_spec spec, pid_t pid)
    : spec_(std::move(spec)), pid_(pid) {}

child_process::~child_process() {
  if (released_ || !IsRunning()) return;
  Signal(SIGCONT);
  Signal(SIGTERM);
  if (!WaitForExit(kStopLimit)) Kill();
}

bool child_process::IsRunning() {
  if (exit_code_) return false;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return false;
}

bool child_process::Signal(int signal) {
  return IsRunning() && ::kill(pid_, signal) == 0;
}

std::optional<int> child_process::WaitForExit(std::chrono::milliseconds limit) {
  WaitUntil([this] { return !IsRunning(); }, limit);
  return exit_code_;
}

void child_process::Kill() {
  Signal(SIGKILL);
  WaitForExit(kKillLimit);
}

std::string child_process::Output() const {
  return ReadWholeFile(spec_.output_path);
}

std::string child_process::Errors() const {
  return ReadWholeFile(spec_.error_path);
}

}  // namespace hornbeam
