/** Handles users' requests on any controller: submitting, polling and cancelling jobs. */
package dapplestair.submissions;
