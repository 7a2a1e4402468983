// A cancellation request from one fiber to another.
#pragma once

#include <functional>
#include <utility>

namespace hornbeam {

// Carries a cancellation from its owner to one callback. Outlives the code that
// sets the callback. For the I/O thread only. Callbacks must not wait.
class cancel_source {
 public:
  // Calls the callback, if there is one. Further calls do nothing.
  void Cancel() {
    if (cancelled_) return;
    cancelled_ = true;
    if (on_cancel_) on_cancel_();
  }

  [[nodiscard]] bool IsCancelled() const { return cancelled_; }

  // Replaces the callback that Cancel calls; null removes it. The callback is
  // called immediately if Cancel has already been called.
  void OnCancel(std::function<void()> callback) {
    on_cancel_ = std::move(callback);
    if (cancelled_ && on_cancel_) on_cancel_();
  }

 private:
  bool cancelled_ = false;
  std::function<void()> on_cancel_;
};

// Sets the callback of a cancel_source and removes it in its destructor.
class cancel_registration {
 public:
  cancel_registration(cancel_source& source, std::function<void()> callback)
      : source_(source) {
    source_.OnCancel(std::move(callback));
  }
  cancel_registration(const cancel_registration&) = delete;
  cancel_registration& operator=(const cancel_registration&) = delete;
  ~cancel_registration() { source_.OnCancel(nullptr); }

 private:
  cancel_source& source_;
};

}  // namespace hornbeam
