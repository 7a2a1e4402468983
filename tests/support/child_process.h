// A program that a test starts and that terminates with the test at the latest.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hornbeam {

// The program to start. Its output goes to files, which are kept when the
// process exits.
struct child_spec {
  std::string program;
  std::vector<std::string> arguments;
  std::string output_path;  // Standard output.
  std::string error_path;   // Standard error.
  // Added to the test's own environment, as "NAME=value".
  std::vector<std::string> environment;
  // If false, the kernel kills the process when the thread that started it
  // exits.
  bool outlives_parent = false;
};

// Owns a process. The destructor resumes a stopped process, sends SIGTERM and
// kills the process if it does not exit within 10 seconds.
class child_process {
 public:
  // Starts the program. Returns null when the fork fails; when the exec fails,
  // the process exits with code 127.
  static std::unique_ptr<child_process> MakeChildProcess(child_spec spec);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  [[nodiscard]] pid_t Pid() const { return pid_; }
  [[nodiscard]] const child_spec& Spec() const { return spec_; }
  // Returns false once the process has exited.
  bool IsRunning();
  // Sends a signal. Returns false when the process has exited.
  bool Signal(int signal);
  // Waits until the process exits. Returns the exit code, the negative signal
  // number when a signal terminated it, or std::nullopt when it still runs
  // after `limit`.
  std::optional<int> WaitForExit(std::chrono::milliseconds limit);
  // Sends SIGKILL and waits up to 10 seconds until the process exits.
  void Kill();
  // Gives up ownership: the destructor leaves the process running.
  void Release() { released_ = true; }
  // Return the contents of the output files so far.
  [[nodiscard]] std::string Output() const;
  [[nodiscard]] std::string Errors() const;

 private:
  child_process(child_spec spec, pid_t pid);

  child_spec spec_;
  pid_t pid_;
  std::optional<int> exit_code_;
  bool released_ = false;
};

}  // namespace hornbeam
