package beaconturn.net.client;

import beaconturn.core.ClientRequest;
import beaconturn.core.RouterSettings;
import beaconturn.decision.Idempotency;
import beaconturn.decision.RequestClass;
import beaconturn.net.io.Fnv1a;
import beaconturn.protocol.RespValue;
import beaconturn.protocol.Slice;
import beaconturn.stats.RequestMetrics;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.regex.Pattern;

/** Turns commands of clients into requests: key, id and a list of names and values. */
public final class RequestParser {
  private static final long MILLI = 1_000_000;
  private static final int KEY_DIGITS = 16;
  private static final int LONGEST_NAME = 128;
  private static final int MOST_ATTRIBUTES = 16;

  /**
   * Plain decimals only: what Java takes besides, such as 5d, 0x1p3 or NaN, no cache server can
   * read.
   */
  private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,9})?");

  private static final Pattern ATTRIBUTE = Pattern.compile("[A-Za-z0-9_]{1,32}=[!-+\\--~]{1,256}");

  /** A wait of more than so many times its class's deadline is a mistake of the client's. */
  private static final double LONGEST_WAIT = 2;

  private final RouterSettings settings;
  private final RouterSettings before;
  private final RequestMetrics tally;

  /** A parser of requests under these settings, which are counted in the tally. */
  public RequestParser(RouterSettings settings, RequestMetrics tally) {
    this(settings, settings, tally);
  }

  /**
   * The same after settings have changed: a request that was sent under those {@code before} may
   * wait for as long as its class allowed then.
   */
  public RequestParser(RouterSettings settings, RouterSettings before, RequestMetrics tally) {
    this.settings = settings;
    this.before = before;
    this.tally = tally;
  }

  /**
   * The parts that go on to a cache server: {@code head} is the command, the key and the id as
   * read.
   */
  public record Parts(Slice head, Slice id, Map<String, String> attributes, Slice value) {
    String attributesWith(long waitMillis) {
      StringJoiner out = new StringJoiner(",");
      attributes.forEach(
          (name, value) ->
              out.add(name + "=" + (name.equals("d") ? Long.toString(waitMillis) : value)));
      return out.toString();
    }
  }

  static boolean isRequest(Slice command) {
    return command.is("C.GET") || command.is("C.SET");
  }

  /**
   * The request that a command makes; {@code readAt} is when its last byte was read. Nothing that a
   * cache server could not use gets past here, and its id is open from here on until it has its
   * answer.
   */
  public RespClientRequest parse(List<RespValue> items, long readAt, PendingRequestIds ids)
      throws InvalidCommandException {
    boolean write = text(items, 0).is("C.SET");
    if (items.size() != (write ? 5 : 4)) {
      throw new InvalidCommandException("wrong number of arguments");
    }
    Map<String, String> attributes = attributes(text(items, 3).toString());
    int requestClass = settings.classNames().indexOf(attributes.get("c"));
    if (requestClass < 0) {
      throw new InvalidCommandException("c names no class of the settings");
    }
    RequestClass type = settings.routing().classes().get(requestClass);
    double wait = number(attributes, "d", 0) * MILLI;
    if (wait < 1
        || (wait > LONGEST_WAIT * type.deadlineNanos()
            && wait > LONGEST_WAIT * deadlineBefore(attributes.get("c")))) {
      throw new InvalidCommandException("d is missing or out of range");
    }
    if (write
        && type.idempotency() == Idempotency.IDEMPOTENCY_KEY
        && !attributes.containsKey("k")) {
      throw new InvalidCommandException("k is missing");
    }
    Slice key = name(items, 1, "key");
    Slice id = name(items, 2, "id");
    Slice first = items.get(0).frame();
    Slice last = items.get(2).frame();
    Slice head = new Slice(first.array(), first.from(), last.from() + last.length() - first.from());
    Slice value = write ? items.get(4).frame() : null;
    ClientRequest.Ask ask =
        new ClientRequest.Ask(
            requestClass,
            key(key),
            write,
            "1".equals(attributes.get("r")),
            0,
            0,
            number(attributes, "size", 0));
    if (!ids.open(id)) {
      throw new InvalidCommandException("a request of this id is open");
    }
    return new RespClientRequest(
        ask,
        readAt + (long) wait,
        new Parts(head, id, attributes, value),
        new RespClientRequest.Reading(
            settings.routing(), attributes.get("c"), readAt + type.latencyObjectiveNanos(), tally),
        () -> ids.close(id));
  }

  /** The deadline of the class under the settings before; 0 where they did not have it. */
  private long deadlineBefore(String className) {
    int earlier = before.classNames().indexOf(className);
    return earlier < 0 ? 0 : before.routing().classes().get(earlier).deadlineNanos();
  }

  /** A key or an id: not empty, not endless, and of bytes that can be seen. */
  private static Slice name(List<RespValue> items, int index, String what)
      throws InvalidCommandException {
    Slice name = text(items, index);
    boolean sound = name.length() > 0 && name.length() <= LONGEST_NAME;
    for (int i = 0; sound && i < name.length(); i++) {
      sound = name.at(i) > ' ' && name.at(i) <= '~';
    }
    if (!sound) {
      throw new InvalidCommandException(what + " is empty, too long or of odd bytes");
    }
    return name;
  }

  private static Slice text(List<RespValue> items, int index) throws InvalidCommandException {
    if (items.get(index) instanceof RespValue.Bulk bulk && bulk.bytes() != null) {
      return bulk.bytes();
    }
    throw new InvalidCommandException("command with an argument that is no string");
  }

  private static Map<String, String> attributes(String text) throws InvalidCommandException {
    Map<String, String> found = new LinkedHashMap<>();
    for (String pair : text.split(",", MOST_ATTRIBUTES + 1)) {
      if (!ATTRIBUTE.matcher(pair).matches() || found.size() == MOST_ATTRIBUTES) {
        throw new InvalidCommandException("attributes that are no list of names and values");
      }
      int equals = pair.indexOf('=');
      if (found.put(pair.substring(0, equals), pair.substring(equals + 1)) != null) {
        throw new InvalidCommandException("attribute given twice");
      }
    }
    return found;
  }

  private static double number(Map<String, String> attributes, String name, double fallback)
      throws InvalidCommandException {
    String value = attributes.get(name);
    if (value != null && !DECIMAL.matcher(value).matches()) {
      throw new InvalidCommandException(name + " is not a number");
    }
    return value == null ? fallback : Double.parseDouble(value);
  }

  /** Keys are 16 hexadecimal digits; any other is hashed, alike at every router. */
  private static long key(Slice key) {
    long value = 0;
    boolean hex = key.length() == KEY_DIGITS;
    for (int i = 0; hex && i < key.length(); i++) {
      int digit = Character.digit(key.at(i), 16);
      hex = digit >= 0;
      value = value << 4 | digit;
    }
    return hex ? value : Fnv1a.of(key);
  }
}
