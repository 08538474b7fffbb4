package dapplestair.client;

/** Thrown when a command fails; holds the message for the user and the exit code. */
final class CommandException extends Exception {
  private static final long serialVersionUID = 1L;

  static final int WRONG_USAGE = 2;
  static final int UNREACHABLE = 3;
  static final int NO_SUCH_THING = 4;
  static final int REFUSED = 5;

  private final int code;

  CommandException(int code, String message) {
    super(message, null, false, false);
    this.code = code;
  }

  int code() {
    return code;
  }
}
