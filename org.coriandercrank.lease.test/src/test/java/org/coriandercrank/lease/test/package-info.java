/** Tests of the lease state machines. */
package org.coriandercrank.lease.test;
