package org.cowslipdale.testsupport.capacity;

import java.util.List;

/**
 * A straight line through measured points, by least squares.
 *
 * @param intercept the value at size 0
 * @param perUnit the growth per unit of size
 */
record Slope(double intercept, double perUnit) {

  /**
   * A measured value.
   *
   * @param size the size
   * @param value the value at that size
   */
  record Point(double size, double value) {}

  static Slope through(List<Point> points) {
    double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
    double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
    double covariance = 0;
    double variance = 0;
    for (Point point : points) {
      covariance += (point.size() - meanSize) * (point.value() - meanValue);
      variance += (point.size() - meanSize) * (point.size() - meanSize);
    }
    double perUnit = variance == 0 ? 0 : covariance / variance;
    return new Slope(meanValue - perUnit * meanSize, perUnit);
  }

  double at(double size) {
    return intercept + perUnit * size;
  }
}
