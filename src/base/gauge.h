// Gauge metric.
#pragma once

namespace hornbeam {

// Holds a current value that may increase and decrease. Owned by a
// metrics_registry.
class gauge {
 public:
  void Set(double value) { value_ = value; }
  void Add(double amount) { value_ += amount; }
  [[nodiscard]] double Value() const { return value_; }

 private:
  double value_ = 0;
};

}  // namespace hornbeam
