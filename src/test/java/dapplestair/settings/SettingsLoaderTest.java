package dapplestair.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsLoaderTest {
  private static final String GOOD =
      """
      member = "m-0"
      zone = "z"
      client_listen = "127.0.0.1:8080"
      peer_bind = "127.0.0.1:8081"
      new_field = 3
      [outside]
      cloud = "127.0.0.1:1"
      state = "127.0.0.1:2"
      [settings]
      zones = ["z"]
      [[settings.teams]]
      name = "t"
      cpus_max = 12.5
      [[settings.objectives]]
      kind = "something new"
      [settings.workers]
      report_s = 3.0
      lease_s = 36.0
      cancel_s = 66.0
      [settings.state]
      rps = 150.0
      write_rps = 30.0
      value_kb = 8.0
      txn_ops = 24
      [settings.cloud]
      rps = 4.0
      list_lag_s = 5.0
      [settings.resources]
      cpu = 0.425
      ram_mb = 263.0
      max_connections = 3500
      """;

  @Test
  void ignoresUnknownFields() throws SettingsException {
    Settings settings = SettingsLoader.parse("f", GOOD);
    assertEquals(36_000, settings.workers().leaseMs());
    assertEquals(12.5, settings.teams().get("t").cpusMax());
    assertEquals(8192, settings.state().valueBytes());
  }

  private static String rejectionMessage(String original, String replacement) {
    assertTrue(GOOD.contains(original));
    return assertThrows(
            SettingsException.class,
            () -> SettingsLoader.parse("f.toml", GOOD.replace(original, replacement)))
        .getMessage();
  }

  @Test
  void messageNamesFileFieldAndValue() {
    assertEquals(
        "f.toml: settings.workers.lease_s = -1: must be a number above 0",
        rejectionMessage("lease_s = 36.0", "lease_s = -1"));
    assertEquals(
        "f.toml: outside.state = missing: must be a text",
        rejectionMessage("state = \"127.0.0.1:2\"", ""));
    assertEquals(
        "f.toml: client_listen = \"here\": must be host:port",
        rejectionMessage("client_listen = \"127.0.0.1:8080\"", "client_listen = \"here\""));
    assertTrue(
        rejectionMessage("[settings.cloud]", "[settings.cloud").startsWith("f.toml: not TOML"));
  }

  @Test
  void checksOperatorsFile(@TempDir Path dir) throws Exception {
    Path file = dir.resolve("o.textproto");
    Files.writeString(file, "population: 40 plan_interval_s: 5");
    OperatorSettings operatorSettings = OperatorSettingsLoader.load(file);
    assertEquals(40, operatorSettings.population());
    assertEquals(5000, operatorSettings.planIntervalMs());
    assertEquals(OperatorSettings.defaults().evaluations(), operatorSettings.evaluations());
    Files.writeString(file, "population: 1");
    String message =
        assertThrows(SettingsException.class, () -> OperatorSettingsLoader.load(file)).getMessage();
    assertTrue(message.endsWith("population = 1.0: must be from 4.0 to 1000.0"), message);
    Files.writeString(file, "poulation: 1");
    assertThrows(SettingsException.class, () -> OperatorSettingsLoader.load(file));
  }

  @Test
  void checksDisruptionBudgets(@TempDir Path dir) throws Exception {
    Path file = dir.resolve("o.textproto");
    Files.writeString(
        file,
        "disruption { team: \"t\" replicas: 0 } disruption { replicas_ratio: 0.05 job_replicas: 2 }");
    DisruptionBudgets budgets = OperatorSettingsLoader.load(file).budgets();
    assertEquals(0, budgets.forTeam("t").maxTeamReplicasOut(100));
    assertEquals(5, budgets.forTeam("other").maxTeamReplicasOut(100));
    assertEquals(
        1, budgets.forTeam("other").maxTeamReplicasOut(3), "a ratio above zero allows one");
    assertEquals(
        2,
        budgets.forTeam("t").maxJobReplicasOut(9),
        "a field that a team does not set is taken from the default budget");
    DisruptionBudgetsLoader.checkTeams(file, budgets, SettingsLoader.parse("f", GOOD));
    Files.writeString(file, "disruption { team: \"nobody\" replicas: 3 }");
    DisruptionBudgets unknownTeam = OperatorSettingsLoader.load(file).budgets();
    String message =
        assertThrows(
                SettingsException.class,
                () ->
                    DisruptionBudgetsLoader.checkTeams(
                        file, unknownTeam, SettingsLoader.parse("f", GOOD)))
            .getMessage();
    assertTrue(
        message.endsWith("disruption.team = \"nobody\": no such team in the settings"), message);
    for (String bad :
        new String[] {"replicas_ratio: -0.1", "job_ratio: 1.5", "lost_cpu_s_per_hour: nan"}) {
      Files.writeString(file, "disruption { " + bad + " }");
      assertThrows(SettingsException.class, () -> OperatorSettingsLoader.load(file), bad);
    }
  }
}
