/** Stand-ins: a simulated object store and a simulated keyed backend server, for tests, demos and load runs. */
package org.coriandercrank.standin;
