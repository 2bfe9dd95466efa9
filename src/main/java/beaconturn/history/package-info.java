/**
 * The account of a rehearsal: what clients asked and were told, what stand-ins read and answered,
 * what routers were told of the list; and the rules, judged from it by code with no I/O. It knows
 * nothing of how the events came about.
 */
package beaconturn.history;
