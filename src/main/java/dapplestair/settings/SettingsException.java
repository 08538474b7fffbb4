package dapplestair.settings;

/** A settings file that cannot be used; the message names file, field and value. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** With the line to show to the operator. */
  public SettingsException(String message) {
    super(message);
  }
}
