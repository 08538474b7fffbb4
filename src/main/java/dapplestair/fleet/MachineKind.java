package dapplestair.fleet;

/** A machine type with its pricing, spot or steady; plans count machines by kind. */
public record MachineKind(String type, boolean spot) {}
