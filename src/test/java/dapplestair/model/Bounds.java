package dapplestair.model;

/**
 * The bounds of an exploration. Whatever is not bounded here may happen any number of times.
 *
 * @param hasSuccessor whether a second leader may take over, at any time
 * @param machines number of machines, each with one worker
 * @param attempts number of attempts of the one task
 * @param sessions number of sessions of each worker
 * @param maxRaises how often a leader may raise a machine's token
 * @param maxMessages maximum number of messages to one worker in the network
 * @param maxReports maximum number of reports of one worker in the network
 * @param nonLeaderRaises whether a controller that does not lead may raise a token, once
 * @param lateResponses whether other steps may happen between a worker's response to a call and its
 *     arrival; a response may be lost in any case
 * @param userMayCancel whether the user may cancel the job; if so, leaders stop tasks only for the
 *     cancellation, otherwise by choice
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
