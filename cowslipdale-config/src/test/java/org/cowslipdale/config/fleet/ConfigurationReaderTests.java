package org.cowslipdale.config.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.config.ini.IniException;
import org.cowslipdale.config.ini.IniFile;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.Customer;
import org.cowslipdale.core.view.Freshness;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ConfigurationReaderTests {

  private static final String VALID =
      """
      [database bonds]
      servers = 3

      [class checks]
      kind = read
      freshness = bounded
      max-age = 5 s

      [customer acme]
      rate = 100
      burst = 20
      databases = bonds

      [open-route window]
      database = bonds
      class = checks
      statement = get window
      """;

  @Test
  void readsAValidConfiguration() throws IniException {
    Configuration configuration = read(VALID);

    assertThat(
        configuration.classes().get("checks").freshness(), is(new Freshness.BoundedAge(5_000)));
    assertThat(
        configuration.customers().get("acme"), is(new Customer("acme", 100, 20, Set.of("bonds"))));
  }

  @ParameterizedTest
  @CsvSource({
    "kind = read, kind = reed, fleet.ini:5: error 5004",
    "max-age = 5 s, max-age = 5, fleet.ini:7: error 5004",
    "max-age = 5 s, # none, error 5004",
    "[customer acme], [customer Acme], fleet.ini:9: error 5002",
    "rate = 100, rate = -1, fleet.ini:10: error 5004",
    "databases = bonds, databases = grants, unknown database grants",
    "class = checks, class = writes, unknown class writes",
    "kind = read, kind = write, which is not read-only"
  })
  void reportsInvalidValues(String valid, String broken, String expected) {
    IniException e = assertThrows(IniException.class, () -> read(VALID.replace(valid, broken)));

    assertThat(e.getMessage(), containsString(expected));
  }

  @Test
  void codecsRoundTripConfiguration() throws IniException, IOException {
    Configuration configuration = read(VALID);
    List<ObjectMapper> codecs =
        List.of(Codecs.json(), Codecs.messagePack(), Codecs.compactMessagePack());

    for (ObjectMapper codec : codecs) {
      byte[] encoded = codec.writeValueAsBytes(configuration);
      assertThat(codec.readValue(encoded, Configuration.class), is(configuration));
    }
  }

  private static Configuration read(String text) throws IniException {
    return ConfigurationReader.read(IniFile.parse("fleet.ini", text));
  }
}
