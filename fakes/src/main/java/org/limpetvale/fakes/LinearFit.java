package org.limpetvale.fakes;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Least-squares line through measured points. */
final class LinearFit {
  private final String name;
  private final String unit;
  private final List<Point> points = new ArrayList<>();

  private record Point(double x, double y) {}

  LinearFit(String name, String unit) {
    this.name = name;
    this.unit = unit;
  }

  void add(double x, double y) {
    points.add(new Point(x, y));
  }

  /** Prints name, unit, slope, intercept, largest residual and points as a Markdown table row. */
  void printRow() {
    double n = points.size();
    double meanX = points.stream().mapToDouble(Point::x).sum() / n;
    double meanY = points.stream().mapToDouble(Point::y).sum() / n;
    double sxy = 0;
    double sxx = 0;
    for (Point each : points) {
      sxy += (each.x() - meanX) * (each.y() - meanY);
      sxx += (each.x() - meanX) * (each.x() - meanX);
    }
    double slope = sxx == 0 ? 0 : sxy / sxx;
    double intercept = meanY - slope * meanX;
    double residual =
        points.stream()
            .mapToDouble(p -> Math.abs(p.y() - intercept - slope * p.x()))
            .max()
            .orElse(0);
    StringBuilder pointList = new StringBuilder();
    for (Point each : points) {
      pointList.append(String.format(Locale.ROOT, "%.0f: %.4g, ", each.x(), each.y()));
    }
    System.out.printf(
        Locale.ROOT,
        "| %s | %s | %.4g | %.4g | %.3g | %s |%n",
        name,
        unit,
        slope,
        intercept,
        residual,
        pointList.substring(0, Math.max(0, pointList.length() - 2)));
  }
}
