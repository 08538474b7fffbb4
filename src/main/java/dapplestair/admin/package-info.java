/**
 * The operators' interface: authentication and roles, the views of jobs, machines and the cluster,
 * and the orders that operators give. Each answer states the term and epoch as of which it holds.
 */
package dapplestair.admin;
