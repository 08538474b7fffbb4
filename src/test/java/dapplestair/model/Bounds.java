package dapplestair.model;

/**
 * How much is explored. Whatever is not bounded here may happen any number of times.
 *
 * @param hasSuccessor whether a second leader takes over, at any moment
 * @param machines machines, each with its worker
 * @param attempts attempts of the one task
 * @param sessions of each worker
 * @param maxRaises how often a leader may raise a machine's token
 * @param maxMessages how many messages to one worker are in the network at most
 * @param maxReports how many reports of one worker are in the network at most
 * @param nonLeaderRaises whether a controller that does not lead raises a token once
 * @param lateResponses whether other things may happen between a worker's answer to a call and its
 *     arrival; an answer may be lost in any case
 * @param userMayCancel whether the user may cancel the job; if so, leaders stop tasks for this
 *     alone, else by choice
 */
record Bounds(
    boolean hasSuccessor,
    int machines,
    int attempts,
    int sessions,
    int maxRaises,
    int maxMessages,
    int maxReports,
    boolean nonLeaderRaises,
    boolean lateResponses,
    boolean userMayCancel) {}
