package beaconturn.net.client;

/** Whether a client is known to be connected; requests are not forwarded otherwise. */
interface ClientPresence {
  /** A client that is always present. */
  ClientPresence ALWAYS =
      new ClientPresence() {
        @Override
        public boolean isKnown() {
          return true;
        }

        @Override
        public boolean confirm() {
          return true;
        }
      };

  /** Whether the client is known to be connected. For any thread; never blocks. */
  boolean isKnown();

  /**
   * Whether the client is known to be connected, after waiting for the poller if that has not run
   * for some time. Not for the poller thread nor the routing thread.
   */
  boolean confirm();
}
