package dapplestair.admin;

/** The authenticated sender of a request, with its role. */
record Caller(String name, Role role) {}
