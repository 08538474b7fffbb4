package dapplestair.admin;

/** What a caller may do. */
public enum Role {
  /** Look. */
  VIEW,
  /** Change things, too. */
  OPERATE;

  boolean covers(Role needed) {
    return ordinal() >= needed.ordinal();
  }

  /** The role of this name, or null. */
  public static Role fromLabel(String label) {
    for (Role role : values()) {
      if (role.label().equals(label)) {
        return role;
      }
    }
    return null;
  }

  String label() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
