/** The interface of the platform's object store. */
package org.coriandercrank.kernel.store;
