package beaconturn.standin;

import java.util.Locale;

/** What can be made to go wrong. */
public final class Fault {
  private Fault() {}

  /** What a fault happens to. */
  public enum Target {
    CACHE,
    ORIGIN,
    DISCOVERY,
    ROUTER,
    AGENT,
    LINK,
    SITE,
    STORE
  }

  /** The kinds; each is known to operators by its word. */
  public enum Kind {
    /** Work takes {@code factor} times as long. */
    SLOW(Target.CACHE, true),
    /** Commands are taken and none is answered, nor any work ended. */
    STALL(Target.CACHE, true),
    /** Nothing is read. */
    UNREAD(Target.CACHE, true),
    /** A part of the commands fails at once. */
    ERRORS(Target.CACHE, true),
    /** A part of the answers is spoilt. */
    SPOIL(Target.CACHE, true),
    /** Open connections are reset, and a part of the commands meets a reset. */
    RESET(Target.CACHE, true),
    /** New connections are refused. */
    REFUSE(Target.CACHE, true),
    /** New connections are accepted and never spoken to. */
    MUTE(Target.CACHE, true),
    /** The machine is cut off: silence, new connections never come up. */
    VANISH(Target.CACHE, true),
    /** Listed as draining, then gone once it is empty; it turns away from the grace on. */
    DRAIN(Target.CACHE, true),
    /** The list calls it gone, though it lives. */
    UNLIST(Target.CACHE, false),
    /** Turns away from now on, and is listed as draining seconds later. */
    DRAIN_LATE(Target.CACHE, true),
    /** The process dies and starts again at the fault's end, cold and empty. */
    KILL(Target.CACHE, false),
    /** The process dies; another one under a new name takes its address at the fault's end. */
    REPLACE(Target.CACHE, false),
    /** The origin's work takes {@code factor} times as long. */
    ORIGIN_SLOW(Target.ORIGIN, false),
    /** The origin stands still. */
    ORIGIN_STOP(Target.ORIGIN, false),
    /** Calls end with 503, watches break. */
    DISCOVERY_OUT(Target.DISCOVERY, false),
    /** Every answer of discovery takes {@code delay} longer. */
    DISCOVERY_SLOW(Target.DISCOVERY, false),
    /** Discovery answers with the list as it was {@code delay} before. */
    DISCOVERY_BACK(Target.DISCOVERY, false),
    /** A router is killed outright and started again at the fault's end. */
    ROUTER_KILL(Target.ROUTER, false),
    /** A router gets SIGTERM, and is started again at the fault's end. */
    ROUTER_TERM(Target.ROUTER, false),
    /** A router gets SIGHUP with settings that differ, and once more at the fault's end. */
    ROUTER_RELOAD(Target.ROUTER, false),
    /** A router's process stands still, and wakes up believing that no time went by. */
    ROUTER_PAUSE(Target.ROUTER, false),
    /**
     * The agent of a router, or whichever drives the release, is killed; at the end it starts
     * again.
     */
    AGENT_KILL(Target.AGENT, false),
    /** The same agent's process stands still. */
    AGENT_PAUSE(Target.AGENT, false),
    /** Nothing passes between a router and what its link leads to, and nobody is told. */
    LINK_CUT(Target.LINK, false),
    /** What a router says arrives, and nothing comes back. */
    LINK_ONE_WAY(Target.LINK, false),
    /** Everything passes {@code delay} later. */
    LINK_SLOW(Target.LINK, false),
    /** Nothing passes until the fault's end, and then all at once. */
    LINK_HOLD(Target.LINK, false),
    /** Half of a message passes, then the connection is reset. */
    LINK_RESET(Target.LINK, false),
    /** So many bytes a second pass. */
    LINK_THROTTLE(Target.LINK, false),
    /** What a router asks arrives; the answer is lost and the connection with it. */
    ANSWER_LOST(Target.LINK, false),
    /**
     * Nothing passes between a site and the others, nor between its routers and store or discovery.
     */
    SITE_CUT(Target.SITE, false),
    /** Every call to the store ends with a reset; what it holds is kept. */
    STORE_DOWN(Target.STORE, false),
    /** Every call to the store takes {@code delay} longer. */
    STORE_SLOW(Target.STORE, false),
    /** The store answers reads with what it held when the fault began. */
    STORE_STALE(Target.STORE, false),
    /** The store loses all its members, and another stands empty in its place. */
    STORE_EMPTY(Target.STORE, false),
    /** The store is put back to a copy of so many {@code revisions} ago. */
    STORE_BACK(Target.STORE, false);

    private final Target target;
    private final boolean serverState;

    Kind(Target target, boolean serverState) {
      this.target = target;
      this.serverState = serverState;
    }

    /** What it happens to. */
    public Target target() {
      return target;
    }

    /** Whether it needs routers that agree through a store. */
    public boolean needsAgreement() {
      return target == Target.LINK
          || target == Target.SITE
          || target == Target.STORE
          || target == Target.AGENT;
    }

    /** Whether it is a state of a running cache server. */
    boolean isServerState() {
      return serverState;
    }

    /** The word by which operators know it. */
    public String word() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }
}
