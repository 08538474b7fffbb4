/** The operators' interface: who may ask, and what is told as of which moment. */
package dapplestair.admin;
