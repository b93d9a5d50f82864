package org.cowslipdale.config.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.cowslipdale.config.ini.IniException;
import org.cowslipdale.config.ini.IniFile;
import org.cowslipdale.core.result.ResultCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DaemonSettingsReaderTests {

  private static final String VALID =
      """
      [vm]
      name = vm1
      failure-domain = praha-a
      region = praha
      data-folder = data

      [listen]
      callers = 127.0.0.1:8101
      admin = 127.0.0.1:8201
      peers = 127.0.0.1:8301

      [control]
      voters = vm1 127.0.0.1:8301

      [secrets]
      cluster = 0123456789abcdef
      admin-token = 0123456789abcdef
      announce-token = 0123456789abcdef

      [limits]
      drain-wait = 250 ms

      [address-translation]
      10.0.0.1:8301 = 127.0.0.1:9301
      """;

  @Test
  void readsValidSettings() throws IniException {
    DaemonSettings settings = read(VALID);

    assertThat(settings.control().voters(), is(Map.of("vm1", "127.0.0.1:8301")));
    assertThat(settings.limits().drainWaitMillis(), is(250L));
    assertThat(settings.translate("10.0.0.1:8301"), is("127.0.0.1:9301"));
    assertThat(settings.translate("10.0.0.2:8301"), is("10.0.0.2:8301"));
  }

  @ParameterizedTest
  @CsvSource({
    "name = vm1, name = VM 1, vm1.ini:2: error 5004",
    "name = vm1, nmae = vm1, vm1.ini:1: error 5005",
    "callers = 127.0.0.1:8101, callers = 127.0.0.1, vm1.ini:8: error 5004",
    "callers = 127.0.0.1:8101, callers = 127.0.0.1:99999, vm1.ini:8: error 5004",
    "callers = 127.0.0.1:8101, callers =, vm1.ini:7: error 5005",
    "250 ms, 250, vm1.ini:21: error 5004",
    "250 ms, 250 parsecs, vm1.ini:21: error 5004",
    "drain-wait, dran-wait, vm1.ini:21: error 5003",
    "[limits], [limit], vm1.ini:20: error 5002",
    "vm1 127.0.0.1:8301, 127.0.0.1:8301, vm1.ini:13: error 5004",
    "data-folder = data, # no folder, vm1.ini:13: error 5004",
    "cluster = 0123456789abcdef, cluster = short, vm1.ini:16: error 5004",
    "region = praha, region, vm1.ini:4: error 5004",
    "region = praha, name = vm2, vm1.ini:4: error 5004"
  })
  void reportsFileLineAndCodeOfError(String valid, String broken, String expected) {
    IniException e = assertThrows(IniException.class, () -> read(VALID.replace(valid, broken)));

    assertThat(e.problems().getFirst().toString(), startsWith(expected));
  }

  @Test
  void reportsUnreadableFile() {
    IniException e =
        assertThrows(IniException.class, () -> IniFile.read(Path.of("no", "such.ini")));

    assertThat(e.code(), is(ResultCode.FILE_UNREADABLE));
  }

  @Test
  void reportsAllErrorsAtOnce() {
    String broken = VALID.replace("praha-a", "Praha A").replace("250 ms", "soon");

    IniException e = assertThrows(IniException.class, () -> read(broken));

    assertThat(e.problems(), hasSize(2));
  }

  /** A platform may list names that the daemon does not know; they must not prevent its start. */
  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      value = {
        "enabled = priority-admission, adaptive-capacity; PRIORITY_ADMISSION ADAPTIVE_CAPACITY",
        "enabled = base,sql,priority-admission; PRIORITY_ADMISSION",
        "enabled = base; ''",
        "enabled =; ''"
      })
  void readsKnownFeaturesAndIgnoresOtherNames(String line, String expected) throws IniException {
    DaemonSettings settings = read(VALID + "\n[features]\n" + line + "\n");

    assertThat(
        Feature.named(settings.featureNames()).stream().map(Feature::name).toList(),
        is(expected.isEmpty() ? List.of() : List.of(expected.split(" "))));
  }

  private static DaemonSettings read(String text) throws IniException {
    return DaemonSettingsReader.read(IniFile.parse("vm1.ini", text));
  }
}
