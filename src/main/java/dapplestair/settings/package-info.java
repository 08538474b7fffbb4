/** The platform's settings and the operators' own, checked when read. */
package dapplestair.settings;
