package support;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;

/**
 * The operator sends a configuration whose last tenant has a name with a byte that is not UTF-8, so
 * that it cannot be read in full.
 */
final class InvalidBytes {

  private InvalidBytes() {}

  public static void main(String[] args) throws IOException {
    System.exit(Case.run(Path.of(args[0]), InvalidBytes::play));
  }

  private static int play(Record record, boolean trouble, Case.Resources resources)
      throws IOException {
    DatabaseGroup group =
        resources.add(new DatabaseGroup("registry", 0, "127.0.0.1", record));
    Fleet fleet = resources.add(new Fleet(record, group.platformAddress()));
    Operator operator =
        resources.add(
            new Operator(fleet.cores().stream().map(fleet::controlAddress).toList(), record));
    fleet.startAll();
    if (operator.configure(Operator.document(1, 0, "clerks")) != 200) {
      throw new IOException("the first configuration was refused");
    }
    Operator.pause(3_000);
    byte[] valid = Operator.document(2, 0, "clerks");
    byte[] sent = trouble ? withInvalidByte(valid) : valid;
    int status = operator.configure(sent);
    Operator.pause(5_000);
    byte[] read = operator.readConfiguration();
    record.line("sent: %s", new String(sent, ISO_8859_1));
    record.line("read back: %s", new String(read, ISO_8859_1));
    boolean acknowledged = status == 200;
    boolean inForce = new String(read, ISO_8859_1).contains("\"version\":2");
    record.result(
        "the configuration was answered with %d; version 2 is read back: %b; it is what was sent: %b",
        status, inForce, Arrays.equals(sent, read));
    boolean held = trouble ? !acknowledged && !inForce : acknowledged && Arrays.equals(sent, read);
    record.result(held ? "CONFIG held" : "CONFIG was broken");
    return held ? 0 : 1;
  }

  /** Replaces the last byte of the tenant's name by the first byte of a longer character. */
  private static byte[] withInvalidByte(byte[] document) {
    String text = new String(document, ISO_8859_1);
    byte[] changed = document.clone();
    changed[text.indexOf("\"name\":\"clerks\"") + "\"name\":\"clerks".length() - 1] = (byte) 0xC5;
    return changed;
  }
}
