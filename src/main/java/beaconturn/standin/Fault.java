package beaconturn.standin;

import java.util.Locale;

/** The faults that can be injected in a rehearsal. */
public final class Fault {
  private Fault() {}

  /** The kinds of systems that faults are injected into. */
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

  /** The kinds of faults. */
  public enum Kind {
    /** Work takes {@code factor} times as long. */
    SLOW(Target.CACHE, true),
    /** Commands are accepted, but no work is completed and no response is sent. */
    STALL(Target.CACHE, true),
    /** Connections are not read. */
    UNREAD(Target.CACHE, true),
    /** A share of the commands fails at once. */
    ERRORS(Target.CACHE, true),
    /** A share of the responses is corrupted. */
    SPOIL(Target.CACHE, true),
    /** Open connections are reset at the start, and later on a share of the commands. */
    RESET(Target.CACHE, true),
    /** New connections are refused. */
    REFUSE(Target.CACHE, true),
    /** New connections are accepted but never read or written. */
    MUTE(Target.CACHE, true),
    /** The machine is unreachable: no traffic, and new connections are never established. */
    VANISH(Target.CACHE, true),
    /** The server is listed as draining and rejects commands after the grace period. */
    DRAIN(Target.CACHE, true),
    /** The server is removed from the endpoint list though it is running. */
    UNLIST(Target.CACHE, false),
    /** The server rejects commands at once and is listed as draining only later. */
    DRAIN_LATE(Target.CACHE, true),
    /** The process is killed and restarted at the end of the fault, cold and empty. */
    KILL(Target.CACHE, false),
    /** The process is killed; one with another name takes its address at the end of the fault. */
    REPLACE(Target.CACHE, false),
    /** The origin's work takes {@code factor} times as long. */
    ORIGIN_SLOW(Target.ORIGIN, false),
    /** The origin is stopped. */
    ORIGIN_STOP(Target.ORIGIN, false),
    /** Calls and open watches fail with status 503. */
    DISCOVERY_OUT(Target.DISCOVERY, false),
    /** Every reply of discovery takes {@code delay} longer. */
    DISCOVERY_SLOW(Target.DISCOVERY, false),
    /** Discovery serves the endpoint list as it was {@code delay} ago. */
    DISCOVERY_BACK(Target.DISCOVERY, false),
    /** A router is killed with SIGKILL and restarted at the end of the fault. */
    ROUTER_KILL(Target.ROUTER, false),
    /** A router receives SIGTERM and is restarted at the end of the fault. */
    ROUTER_TERM(Target.ROUTER, false),
    /** A router reloads changed settings on SIGHUP, and the old ones at the end of the fault. */
    ROUTER_RELOAD(Target.ROUTER, false),
    /** A router's process is suspended and does not notice the time that has passed. */
    ROUTER_PAUSE(Target.ROUTER, false),
    /** The agent of a router, or the one that drives the release, is killed, then restarted. */
    AGENT_KILL(Target.AGENT, false),
    /** The process of such an agent is suspended. */
    AGENT_PAUSE(Target.AGENT, false),
    /** A link of a router drops all traffic without closing its connections. */
    LINK_CUT(Target.LINK, false),
    /** A link forwards the traffic from a router and drops the traffic to it. */
    LINK_ONE_WAY(Target.LINK, false),
    /** A link delays all traffic by {@code delay}. */
    LINK_SLOW(Target.LINK, false),
    /** A link holds all traffic back and forwards it at the end of the fault. */
    LINK_HOLD(Target.LINK, false),
    /** A link forwards half of a message, then resets the connection. */
    LINK_RESET(Target.LINK, false),
    /** A link forwards a limited number of bytes a second. */
    LINK_THROTTLE(Target.LINK, false),
    /** A link forwards a call of a router, but loses the reply and the connection. */
    ANSWER_LOST(Target.LINK, false),
    /** A site is partitioned from the other sites, the store and discovery. */
    SITE_CUT(Target.SITE, false),
    /** Every call to the store ends with a reset; its data is kept. */
    STORE_DOWN(Target.STORE, false),
    /** Every call to the store takes {@code delay} longer. */
    STORE_SLOW(Target.STORE, false),
    /** The store serves reads from its data at the start of the fault. */
    STORE_STALE(Target.STORE, false),
    /** The store loses all members and is replaced by an empty one. */
    STORE_EMPTY(Target.STORE, false),
    /** The store is restored from a backup of {@code revisions} revisions ago. */
    STORE_BACK(Target.STORE, false);

    private final Target target;
    private final boolean serverState;

    Kind(Target target, boolean serverState) {
      this.target = target;
      this.serverState = serverState;
    }

    /** Returns the kind of system that the fault is injected into. */
    public Target target() {
      return target;
    }

    /** Returns whether the fault needs routers that agree through a store. */
    public boolean needsAgreement() {
      return target == Target.LINK
          || target == Target.SITE
          || target == Target.STORE
          || target == Target.AGENT;
    }

    /** Returns whether the fault is a state of a running cache server. */
    boolean isServerState() {
      return serverState;
    }

    /** Returns the word that names the kind in scenarios and fault commands. */
    public String word() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }
}
