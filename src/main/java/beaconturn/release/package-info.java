/**
 * Releases and drains of a whole fleet: how much may be out at once, permits with numbers that only
 * grow, waves with a check before the next, a halt and a way back. Decided without I/O on what was
 * read from the coordination store; each step is one transaction of it, whose conditions are what
 * it was decided on. Of the agreement it uses the words of the store ({@code Call}, {@code Answer})
 * and its texts, nothing else.
 *
 * <p>Guaranteed: no planned step begins while as much is out as may be, however it went; a driver
 * or an agent that was replaced can do nothing with what it knew; after a halt no step begins
 * beyond the stated time.
 */
package beaconturn.release;
