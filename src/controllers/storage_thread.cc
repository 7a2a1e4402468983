#include "controllers/storage_thread.h"

#include <cassert>
#include <utility>

namespace hornbeam {

storage_thread::storage_thread(std::unique_ptr<log_storage> storage,
                               completion done)
    : storage_(std::move(storage)),
      done_(std::move(done)),
      thread_([this] { Run(); }) {}

storage_thread::~storage_thread() {
  queue_.Close();
  thread_.join();
}

void storage_thread::Write(storage_batch batch) {
  const bool pushed = queue_.TryPush(std::move(batch));
  assert(pushed);
  static_cast<void>(pushed);
}

void storage_thread::Run() {
  while (const auto batch = queue_.Pop()) done_(storage_->Write(*batch));
}

}  // namespace hornbeam
