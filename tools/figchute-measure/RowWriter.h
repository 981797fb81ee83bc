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
  /** Creates a writer and writes the header line.
      @param out  the output stream; must outlive the writer */
  explicit RowWriter(std::ostream& out)
    : out_(out)
  {
    out_ << "deployment\tscenario\tpolicy\tmetric\tvalue\tunit\n";
  }

  void writeRow(std::string_view deployment,
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

  /** Writes the median and the worst value over several seeds as the rows `metric_median` and
      `metric_worst`.
      @param values         one value per seed; must not be empty
      @param higherIsWorse  true if the largest value is the worst, false if the smallest is */
  void writeMedianAndWorst(std::string_view deployment,
                           std::string_view scenario,
                           std::string_view policy,
                           std::string_view metric,
                           std::vector<double> values,
                           std::string_view unit,
                           bool higherIsWorse)
  {
    std::sort(values.begin(), values.end());
    const std::string metricName(metric);
    writeRow(deployment, scenario, policy, metricName + "_median", values[values.size() / 2], unit);
    writeRow(deployment,
             scenario,
             policy,
             metricName + "_worst",
             higherIsWorse ? values.back() : values.front(),
             unit);
  }

private:
  std::ostream& out_;
};

} // namespace figchute::measure
