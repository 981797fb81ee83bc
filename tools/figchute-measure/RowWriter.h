#pragma once

#include <algorithm>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::measure {

/** Writes measurements as tab-separated rows with a header line.
    Thread safety: use one instance from one thread only. */
class RowWriter
{
public:
  /** Writes the header line. @p out must outlive the writer. */
  explicit RowWriter(std::ostream& out)
    : out_(out)
  {
    out_ << "deployment\tscenario\tpolicy\tmetric\tvalue\tunit\n";
  }

  /** Writes one row. */
  void row(std::string_view deployment,
           std::string_view scenario,
           std::string_view policy,
           std::string_view metric,
           double value,
           std::string_view unit)
  {
    out_ << deployment << '\t' << scenario << '\t' << policy << '\t' << metric << '\t' << value
         << '\t' << unit << '\n';
    out_.flush();
  }

  /** Writes the rows `metric_median` and `metric_worst` of the values of several seeds.
      @param values         one value per seed, not empty
      @param higherIsWorse  selects the largest or the smallest value as the worst */
  void medianAndWorst(std::string_view deployment,
                      std::string_view scenario,
                      std::string_view policy,
                      std::string_view metric,
                      std::vector<double> values,
                      std::string_view unit,
                      bool higherIsWorse)
  {
    std::sort(values.begin(), values.end());
    const std::string name(metric);
    row(deployment, scenario, policy, name + "_median", values[values.size() / 2], unit);
    row(deployment,
        scenario,
        policy,
        name + "_worst",
        higherIsWorse ? values.back() : values.front(),
        unit);
  }

private:
  std::ostream& out_;
};

} // namespace figchute::measure
