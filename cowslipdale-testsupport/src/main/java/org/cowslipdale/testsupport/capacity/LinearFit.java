package org.cowslipdale.testsupport.capacity;

import java.util.List;

/**
 * A straight line fitted to measured points by the method of least squares.
 *
 * @param intercept the value at size 0
 * @param slope the increase of the value per unit of size
 */
record LinearFit(double intercept, double slope) {

  /**
   * A measured point.
   *
   * @param size the size
   * @param value the value at that size
   */
  record Point(double size, double value) {}

  /** Returns the line with the smallest sum of squared errors. */
  static LinearFit leastSquares(List<Point> points) {
    double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
    double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
    double covariance = 0;
    double variance = 0;
    for (Point point : points) {
      covariance += (point.size() - meanSize) * (point.value() - meanValue);
      variance += (point.size() - meanSize) * (point.size() - meanSize);
    }
    double slope = variance == 0 ? 0 : covariance / variance;
    return new LinearFit(meanValue - slope * meanSize, slope);
  }

  /** Returns the value of the line at a size. */
  double valueAt(double size) {
    return intercept + slope * size;
  }
}
