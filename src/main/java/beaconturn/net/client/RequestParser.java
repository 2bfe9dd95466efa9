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

/**
 * Parser of clients' commands into requests: key, id and a list of names and values. The words of
 * the wire are mapped here once. Any thread may call.
 */
public final class RequestParser {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final int KEY_DIGITS = 16;
  private static final int MAX_NAME_LENGTH = 128;
  private static final int MAX_ATTRIBUTES = 16;

  /** Where the words of a command stand. */
  private static final int COMMAND = 0;

  private static final int KEY = 1;
  private static final int ID = 2;
  private static final int ATTRIBUTES = 3;
  private static final int VALUE = 4;
  private static final int GET_WORDS = 4;
  private static final int SET_WORDS = 5;

  /**
   * Plain decimals only: what Java takes besides, such as 5d, 0x1p3 or NaN, no cache server can
   * read.
   */
  private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,9})?");

  private static final Pattern ATTRIBUTE = Pattern.compile("[A-Za-z0-9_]{1,32}=[!-+\\--~]{1,256}");

  /** A wait of more than so many times its class's deadline is a mistake of the client's. */
  private static final double MAX_WAIT_PER_DEADLINE = 2;

  private final RouterSettings settings;
  private final RouterSettings settingsBefore;
  private final RequestMetrics metrics;

  /** A parser of requests under these settings, which are counted in the metrics. */
  public RequestParser(RouterSettings settings, RequestMetrics metrics) {
    this(settings, settings, metrics);
  }

  /**
   * The same after settings have changed: a request that was sent under {@code settingsBefore} may
   * wait for as long as its class allowed then.
   */
  public RequestParser(
      RouterSettings settings, RouterSettings settingsBefore, RequestMetrics metrics) {
    this.settings = settings;
    this.settingsBefore = settingsBefore;
    this.metrics = metrics;
  }

  /**
   * The parts that go on to a cache server.
   *
   * @param head the command, the key and the id as read
   * @param id the request's id
   * @param attributes names and values, in the order in which they came
   * @param value what a write writes, as read, or null
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

  /** Whether a command of this name is a request, and not one that the router answers itself. */
  static boolean isRequest(Slice command) {
    return command.is("C.GET") || command.is("C.SET");
  }

  /**
   * Makes a request of a command. Nothing that a cache server could not use gets past here, and its
   * id is open from here on until it has its answer.
   *
   * @param words the command's words
   * @param readAtNanos when its last byte was read
   * @param ids the ids that are open
   * @throws InvalidCommandException if a word or a value is wrong, or the id is open
   */
  public RespClientRequest parse(List<RespValue> words, long readAtNanos, PendingRequestIds ids)
      throws InvalidCommandException {
    boolean write = text(words, COMMAND).is("C.SET");
    if (words.size() != (write ? SET_WORDS : GET_WORDS)) {
      throw new InvalidCommandException("wrong number of arguments");
    }
    Map<String, String> attributes = attributes(text(words, ATTRIBUTES).toString());
    int classIndex = classIndex(attributes);
    RequestClass requestClass = settings.routing().classes().get(classIndex);
    long waitNanos = waitNanos(attributes, requestClass);
    if (write
        && requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
        && !attributes.containsKey("k")) {
      throw new InvalidCommandException("k is missing");
    }
    long key = keyNumber(name(words, KEY, "key"));
    Slice id = name(words, ID, "id");
    Parts parts = new Parts(head(words), id, attributes, write ? words.get(VALUE).frame() : null);
    RequestDescription description = description(classIndex, key, write, attributes);
    if (!ids.open(id)) {
      throw new InvalidCommandException("a request of this id is open");
    }
    long objectiveAtNanos = readAtNanos + requestClass.latencyObjectiveNanos();
    RespClientRequest.Reading reading =
        new RespClientRequest.Reading(
            settings.routing(), attributes.get("c"), objectiveAtNanos, metrics);
    return new RespClientRequest(
        description, readAtNanos + waitNanos, parts, reading, () -> ids.close(id));
  }

  private int classIndex(Map<String, String> attributes) throws InvalidCommandException {
    int index = settings.classNames().indexOf(attributes.get("c"));
    if (index < 0) {
      throw new InvalidCommandException("c names no class of the settings");
    }
    return index;
  }

  /** How long the client waits for its answer. */
  private long waitNanos(Map<String, String> attributes, RequestClass requestClass)
      throws InvalidCommandException {
    double wait = number(attributes, "d", 0) * NANOS_PER_MILLI;
    boolean tooLong =
        wait > MAX_WAIT_PER_DEADLINE * requestClass.deadlineNanos()
            && wait > MAX_WAIT_PER_DEADLINE * deadlineBeforeNanos(attributes.get("c"));
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
      int classIndex, long key, boolean write, Map<String, String> attributes)
      throws InvalidCommandException {
    boolean clientRetry = "1".equals(attributes.get("r"));
    return new RequestDescription(
        classIndex, key, write, clientRetry, 0, 0, number(attributes, "size", 0));
  }

  /** The deadline of the class under the settings before; 0 where they did not have it. */
  private long deadlineBeforeNanos(String className) {
    int earlier = settingsBefore.classNames().indexOf(className);
    return earlier < 0 ? 0 : settingsBefore.routing().classes().get(earlier).deadlineNanos();
  }

  /** A key or an id: not empty, not endless, and of bytes that can be seen. */
  private static Slice name(List<RespValue> words, int index, String what)
      throws InvalidCommandException {
    Slice name = text(words, index);
    boolean sound = name.length() > 0 && name.length() <= MAX_NAME_LENGTH;
    for (int i = 0; sound && i < name.length(); i++) {
      sound = name.at(i) > ' ' && name.at(i) <= '~';
    }
    if (!sound) {
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

  /** Keys are 16 hexadecimal digits; any other is hashed, alike at every router. */
  private static long keyNumber(Slice key) {
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
