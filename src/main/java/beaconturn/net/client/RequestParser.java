package beaconturn.net.client;

import beaconturn.core.RequestDescription;
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

/** Parses commands of clients into requests: key, id and a list of attributes. For any thread. */
public final class RequestParser {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int KEY_DIGITS = 16;
  private static final int MAX_NAME_LENGTH = 128;
  private static final int MAX_ATTRIBUTES = 16;

  /** Indexes of the arguments of a command. */
  private static final int COMMAND = 0;

  private static final int KEY = 1;
  private static final int ID = 2;
  private static final int ATTRIBUTES = 3;
  private static final int VALUE = 4;
  private static final int GET_WORDS = 4;
  private static final int SET_WORDS = 5;

  /**
   * Plain decimals only: cache servers cannot parse other forms that Java accepts, such as 5d,
   * 0x1p3 or NaN.
   */
  private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,9})?");

  private static final Pattern ATTRIBUTE = Pattern.compile("[A-Za-z0-9_]{1,32}=[!-+\\--~]{1,256}");

  /**
   * A request is rejected if its wait exceeds this multiple of its class's deadline; a longer wait
   * is a mistake of the client.
   */
  private static final double MAX_WAIT_DEADLINE_MULTIPLE = 2;

  private final RouterSettings settings;
  private final RouterSettings previousSettings;
  private final RequestMetrics metrics;

  /** Creates a parser for these settings that counts requests in the metrics. */
  public RequestParser(RouterSettings settings, RequestMetrics metrics) {
    this(settings, settings, metrics);
  }

  /**
   * Creates a parser for changed settings: a request sent under {@code previousSettings} may wait
   * as long as its class allowed then.
   */
  public RequestParser(
      RouterSettings settings, RouterSettings previousSettings, RequestMetrics metrics) {
    this.settings = settings;
    this.previousSettings = previousSettings;
    this.metrics = metrics;
  }

  /**
   * The parts of a command that are forwarded to a cache server.
   *
   * @param head the command, key and id as received
   * @param id the request id
   * @param attributes names and values, in the order received
   * @param value the value of a write as received, or null
   */
  public record Parts(Slice head, Slice id, Map<String, String> attributes, Slice value) {
    /** The same parts without the value, in arrays that hold nothing else. */
    Parts withoutValue() {
      return new Parts(head.compact(), id.compact(), attributes, null);
    }

    String attributesWithWait(long waitMillis) {
      StringJoiner out = new StringJoiner(",");
      attributes.forEach(
          (name, value) ->
              out.add(name + "=" + (name.equals("d") ? Long.toString(waitMillis) : value)));
      return out.toString();
    }
  }

  /**
   * Whether a command of this name is a request, rather than a command that the router answers
   * itself.
   */
  static boolean isRequest(Slice command) {
    return command.is("C.GET") || command.is("C.SET");
  }

  /**
   * Parses a command into a request and reserves its id until the request is answered. Everything
   * that a cache server could not use is rejected here.
   *
   * @param words the arguments of the command, its name first
   * @param arrivedAtNanos when its last byte arrived
   * @param ids the ids of pending requests
   * @throws InvalidCommandException if an argument is invalid, a pending request has the id, or one
   *     that may not be repeated and may have been executed
   */
  public RespClientRequest parse(List<RespValue> words, long arrivedAtNanos, PendingRequestIds ids)
      throws InvalidCommandException {
    boolean isWrite = text(words, COMMAND).is("C.SET");
    if (words.size() != (isWrite ? SET_WORDS : GET_WORDS)) {
      throw new InvalidCommandException("wrong number of arguments");
    }
    Map<String, String> attributes = attributes(text(words, ATTRIBUTES).toString());
    int classIndex = classIndex(attributes);
    RequestClass requestClass = settings.routing().classes().get(classIndex);
    long waitNanos = waitNanos(attributes, requestClass);
    if (isWrite
        && requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
        && !attributes.containsKey("k")) {
      throw new InvalidCommandException("k is missing");
    }
    long key = keyHash(name(words, KEY, "key"));
    Slice id = name(words, ID, "id");
    Parts parts = new Parts(head(words), id, attributes, isWrite ? words.get(VALUE).frame() : null);
    RequestDescription description = description(classIndex, key, isWrite, attributes);
    RequestIdReservation reservation =
        requestClass.idempotency() == Idempotency.IDEMPOTENT
            ? ids.reserve(id)
            : ids.reserveForOneExecution(id, arrivedAtNanos);
    long objectiveAtNanos = arrivedAtNanos + requestClass.latencyObjectiveNanos();
    RespClientRequest.ParseContext parseContext =
        new RespClientRequest.ParseContext(
            settings.routing(), attributes.get("c"), objectiveAtNanos, metrics);
    return new RespClientRequest(
        description, arrivedAtNanos + waitNanos, parts, parseContext, reservation);
  }

  /** Whether a rejection may state when the client may retry. */
  boolean mayStateRetryAfter() {
    return settings.routing().permissions().retryAfter();
  }

  private int classIndex(Map<String, String> attributes) throws InvalidCommandException {
    int index = settings.classNames().indexOf(attributes.get("c"));
    if (index < 0) {
      throw new InvalidCommandException("c names no class of the settings");
    }
    return index;
  }

  /** How long the client waits for its response, from attribute {@code d}. */
  private long waitNanos(Map<String, String> attributes, RequestClass requestClass)
      throws InvalidCommandException {
    double wait = number(attributes, "d", 0) * NANOS_PER_MILLI;
    boolean tooLong =
        wait > MAX_WAIT_DEADLINE_MULTIPLE * requestClass.deadlineNanos()
            && wait > MAX_WAIT_DEADLINE_MULTIPLE * previousDeadlineNanos(attributes.get("c"));
    if (wait < 1 || tooLong) {
      throw new InvalidCommandException("d is missing or out of range");
    }
    return (long) wait;
  }

  private static Slice head(List<RespValue> words) {
    Slice first = words.get(COMMAND).frame();
    Slice last = words.get(ID).frame();
    return new Slice(first.array(), first.from(), last.from() + last.length() - first.from());
  }

  private static RequestDescription description(
      int classIndex, long key, boolean isWrite, Map<String, String> attributes)
      throws InvalidCommandException {
    boolean clientRetry = "1".equals(attributes.get("r"));
    return new RequestDescription(
        classIndex, key, isWrite, clientRetry, 0, 0, number(attributes, "size", 0));
  }

  /** The deadline of the class under the previous settings, or 0 if they did not have the class. */
  private long previousDeadlineNanos(String className) {
    int previousIndex = previousSettings.classNames().indexOf(className);
    return previousIndex < 0
        ? 0
        : previousSettings.routing().classes().get(previousIndex).deadlineNanos();
  }

  /** Returns a key or an id: of limited length, not empty, of visible ASCII characters. */
  private static Slice name(List<RespValue> words, int index, String what)
      throws InvalidCommandException {
    Slice name = text(words, index);
    boolean valid = name.length() > 0 && name.length() <= MAX_NAME_LENGTH;
    for (int i = 0; valid && i < name.length(); i++) {
      valid = name.at(i) > ' ' && name.at(i) <= '~';
    }
    if (!valid) {
      throw new InvalidCommandException(what + " is empty, too long or of odd bytes");
    }
    return name;
  }

  private static Slice text(List<RespValue> words, int index) throws InvalidCommandException {
    if (words.get(index) instanceof RespValue.Bulk bulk && bulk.bytes() != null) {
      return bulk.bytes();
    }
    throw new InvalidCommandException("command with an argument that is no string");
  }

  private static Map<String, String> attributes(String text) throws InvalidCommandException {
    Map<String, String> found = new LinkedHashMap<>();
    for (String pair : text.split(",", MAX_ATTRIBUTES + 1)) {
      if (!ATTRIBUTE.matcher(pair).matches() || found.size() == MAX_ATTRIBUTES) {
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

  /**
   * Parses a key of 16 hexadecimal digits; any other key is hashed, with the same result at every
   * router.
   */
  private static long keyHash(Slice key) {
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
