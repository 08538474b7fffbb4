package dapplestair.model;

/**
 * How much is explored. Whatever is not bounded here may happen any number of times.
 *
 * @param successor whether a second leader takes over, at any moment
 * @param machines machines, each with its worker
 * @param attempts attempts of the one task
 * @param sessions of each worker
 * @param raises how often a leader may raise a machine's token
 * @param messages how many messages to one worker are in the network at most
 * @param reports how many reports of one worker are in the network at most
 * @param raisedByOthers whether a controller that does not lead raises a token once
 * @param lateAnswers whether other things may happen between a worker's answer to a call and its
 *     arrival; an answer may be lost in any case
 * @param cancellation whether the user may cancel the job; if so, leaders stop tasks for this
 *     alone, else by choice
 */
record Bounds(
    boolean successor,
    int machines,
    int attempts,
    int sessions,
    int raises,
    int messages,
    int reports,
    boolean raisedByOthers,
    boolean lateAnswers,
    boolean cancellation) {}
