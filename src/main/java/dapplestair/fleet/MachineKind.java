package dapplestair.fleet;

/** A type of machine under one pricing: what a plan counts. */
public record MachineKind(String type, boolean spot) {}
