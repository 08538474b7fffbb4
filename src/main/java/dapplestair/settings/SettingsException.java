package dapplestair.settings;

/** Thrown if a settings file is invalid; the message names the file, the field and its value. */
public final class SettingsException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with the line to show to the operator. */
  public SettingsException(String message) {
    super(message);
  }
}
