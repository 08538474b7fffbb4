package dapplestair.admin;

/** Who asks. */
record Caller(String name, Role role) {}
