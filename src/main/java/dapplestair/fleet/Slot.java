package dapplestair.fleet;

/** A type of machine under one pricing: what a plan counts. */
public record Slot(String type, boolean spot) {}
