/**
 * Self-contained HTML pages with charts, without scripts or external files. The package gets plain
 * numbers and texts, whatever their source, and does no I/O.
 */
package beaconturn.report;
