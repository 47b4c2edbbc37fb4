/** Tests of the control plane against an in-memory store and network in virtual time. */
package org.coriandercrank.control.test;
