/** Members of the cluster and assignment tables of services. */
package org.coriandercrank.kernel.table;
