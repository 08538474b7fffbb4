package dapplestair.admin;

/** What a caller may do. */
public enum Role {
  /** May view. */
  VIEW,
  /** May view and change things. */
  OPERATE;

  boolean covers(Role needed) {
    return ordinal() >= needed.ordinal();
  }

  /** Returns the role with this label, or null if there is none. */
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
