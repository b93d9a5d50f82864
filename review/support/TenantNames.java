package support;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * Two tenants whose names differ in a letter that is not in ISO 8859-1, as Czech names do. Each of
 * them writes with its own key.
 */
final class TenantNames {

  private TenantNames() {}

  public static void main(String[] args) throws IOException {
    System.exit(Case.run(Path.of(args[0]), TenantNames::play));
  }

  private static int play(Record record, boolean trouble, Case.Resources resources)
      throws IOException {
    List<String> names =
        trouble ? List.of("\u010Depy", "\u0159epy") : List.of("cepy", "repy");
    DatabaseGroup group = resources.add(new DatabaseGroup("registry", 0, "127.0.0.1", record));
    Fleet fleet = resources.add(new Fleet(record, group.platformAddress()));
    Operator operator =
        resources.add(
            new Operator(fleet.cores().stream().map(fleet::controlAddress).toList(), record));
    fleet.startAll();
    for (int i = 0; i < 3; i++) {
      group.add(
          new DatabaseServer(
              group,
              operator,
              "i-" + (i + 1),
              fleet.address(31 + i),
              Fleet.zone("front-" + (i + 1)),
              i == 0 ? 0 : 2));
    }
    if (operator.configure(Operator.document(1, names)) != 200) {
      throw new IOException("the configuration was refused");
    }
    Operator.pause(5_000);
    int wrong = 0;
    for (int i = 0; i < names.size(); i++) {
      String id = LineClient.newId();
      try (LineClient session = new LineClient(fleet.frontAddress("front-1"), 5_000)) {
        session.start("subscribe", "key-" + i);
        if (!session.query(id, "WRITE item-" + i + " data").succeeded()) {
          throw new IOException("the fleet does not serve writes");
        }
      }
      // The bytes of the field, read as the text of the configuration is.
      String told = new String(group.tenantOf(id).getBytes(ISO_8859_1), UTF_8);
      record.result(
          "write %s with the key of tenant %s ran for tenant %s", id, names.get(i), told);
      wrong += told.equals(names.get(i)) ? 0 : 1;
    }
    record.result(wrong == 0 ? "UNASKED held" : "UNASKED was broken");
    return wrong == 0 ? 0 : 1;
  }
}
