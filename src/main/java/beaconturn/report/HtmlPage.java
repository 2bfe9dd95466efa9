package beaconturn.report;

import java.util.List;

/** An HTML page, written from its top to its end. */
public final class HtmlPage {
  private static final String STYLE =
      "body{font:14px sans-serif;margin:2em;max-width:70em}"
          + "td,th{padding:2px 10px;text-align:left}.broken{color:#b00;font-weight:bold}"
          + "svg text{font:11px sans-serif}";
  private final StringBuilder out = new StringBuilder();

  /** A page of that title. */
  public HtmlPage(String title) {
    out.append("<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\"><title>")
        .append(safe(title))
        .append("</title><style>")
        .append(STYLE)
        .append("</style><h1>")
        .append(safe(title))
        .append("</h1>");
  }

  /** A paragraph. */
  public HtmlPage text(String words) {
    return paragraph("<p>", words);
  }

  /** A paragraph that must not be overlooked. */
  public HtmlPage warning(String words) {
    return paragraph("<p class=\"broken\">", words);
  }

  private HtmlPage paragraph(String begin, String words) {
    out.append(begin).append(safe(words)).append("</p>");
    return this;
  }

  /** A chart. */
  public HtmlPage chart(TimelineChart chart) {
    out.append(chart.svg());
    return this;
  }

  /** Begins a table with these heads. */
  public HtmlPage table(String... heads) {
    out.append("<table><tr>");
    for (String head : heads) {
      out.append("<th>").append(safe(head));
    }
    return this;
  }

  /** A row of the table that was begun last. */
  public HtmlPage row(boolean broken, List<String> cells) {
    out.append(broken ? "<tr class=\"broken\">" : "<tr>");
    cells.forEach(cell -> out.append("<td>").append(safe(cell)));
    return this;
  }

  /** Ends the table. */
  public HtmlPage endTable() {
    out.append("</table>");
    return this;
  }

  /** The whole page. */
  public String html() {
    return out + "</html>\n";
  }

  /** Text in which nothing is taken for a mark. */
  static String safe(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }
}
