/**
 * Pages that people look at: one file each, without scripts or other files. What is shown comes in
 * as plain figures; nothing here knows where they are from, and nothing does I/O.
 */
package beaconturn.report;
