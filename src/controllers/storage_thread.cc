#include "controllers/storage_thread.h"

#include <cassert>
#include <utility>

namespace hornbeam {

storage_thread::storage_thread(std::unique_ptr<log_storage> storage,
                               write_completion written,
                               reopen_completion reopened)
    : storage_(std::move(storage)),
      written_(std::move(written)),
      reopened_(std::move(reopened)),
      thread_([this] { Run(); }) {}

storage_thread::~storage_thread() {
  queue_.Close();
  thread_.join();
}

void storage_thread::Write(storage_batch batch) { Push(std::move(batch)); }

void storage_thread::Reopen() { Push(reopen_request()); }

void storage_thread::Push(task next) {
  const bool pushed = queue_.TryPush(std::move(next));
  assert(pushed);
  static_cast<void>(pushed);
}

void storage_thread::Run() {
  while (const auto next = queue_.Pop()) {
    if (const auto* batch = std::get_if<storage_batch>(&*next)) {
      written_(storage_->Write(*batch));
    } else {
      reopened_(storage_->Reopen());
    }
  }
}

}  // namespace hornbeam
