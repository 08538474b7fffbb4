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
  public static Role of(String word) {
    for (Role role : values()) {
      if (role.shown().equals(word)) {
        return role;
      }
    }
    return null;
  }

  String shown() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
