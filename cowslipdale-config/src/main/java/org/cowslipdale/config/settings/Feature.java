package org.cowslipdale.config.settings;

import java.util.Collection;
import java.util.EnumSet;
import java.util.Set;

/** A part of the daemon that is used only where the settings ask for it. */
public enum Feature {

  /** Statements wait, are refused and are displaced by the priority of their routes. */
  PRIORITY_ADMISSION("priority-admission"),

  /** Statements of a customer share the connections of one VM of their failure domain. */
  CONNECTION_GATEWAYS("connection-gateways"),

  /** The load that a backend server handles well is measured and decides where statements go. */
  ADAPTIVE_CAPACITY("adaptive-capacity");

  private final String settingName;

  Feature(String settingName) {
    this.settingName = settingName;
  }

  /** Returns the name of the feature in the settings. */
  public String settingName() {
    return settingName;
  }

  /**
   * Returns the features with the given names; other names are ignored.
   *
   * @param names the names from the settings
   */
  public static Set<Feature> named(Collection<String> names) {
    Set<Feature> features = EnumSet.noneOf(Feature.class);
    for (Feature feature : values()) {
      if (names.contains(feature.settingName)) {
        features.add(feature);
      }
    }
    return features;
  }
}
