package beaconturn.report;

import java.util.List;

/** Builds an HTML page from its top to its end. All texts are escaped. */
public final class HtmlPage {
  private static final String STYLE =
      "body{font:14px sans-serif;margin:2em;max-width:70em}"
          + "td,th{padding:2px 10px;text-align:left}.broken{color:#b00;font-weight:bold}"
          + "svg text{font:11px sans-serif}";
  private final StringBuilder out = new StringBuilder();

  /** Creates a page with a title, which is also its heading. */
  public HtmlPage(String title) {
    out.append("<!DOCTYPE html><html lang=\"en\"><meta charset=\"utf-8\"><title>")
        .append(escape(title))
        .append("</title><style>")
        .append(STYLE)
        .append("</style><h1>")
        .append(escape(title))
        .append("</h1>");
  }

  /** Adds a paragraph. */
  public HtmlPage text(String text) {
    return paragraph("<p>", text);
  }

  /** Adds a highlighted paragraph. */
  public HtmlPage warning(String text) {
    return paragraph("<p class=\"broken\">", text);
  }

  private HtmlPage paragraph(String startTag, String text) {
    out.append(startTag).append(escape(text)).append("</p>");
    return this;
  }

  /** Adds a chart. */
  public HtmlPage chart(TimelineChart chart) {
    out.append(chart.svg());
    return this;
  }

  /** Starts a table with the given column headings. */
  public HtmlPage table(String... headings) {
    out.append("<table><tr>");
    for (String heading : headings) {
      out.append("<th>").append(escape(heading));
    }
    return this;
  }

  /** Adds a row to the current table. */
  public HtmlPage row(boolean highlighted, List<String> cells) {
    out.append(highlighted ? "<tr class=\"broken\">" : "<tr>");
    cells.forEach(cell -> out.append("<td>").append(escape(cell)));
    return this;
  }

  /** Ends the current table. */
  public HtmlPage endTable() {
    out.append("</table>");
    return this;
  }

  /** Returns the complete page. */
  public String html() {
    return out + "</html>\n";
  }

  /** Escapes the characters that have a meaning in HTML. */
  static String escape(String text) {
    return text.replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }
}
